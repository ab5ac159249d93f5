// Package editor reads and edits the document in the platform's table service. The document consists of one head row
// with the revisions, one row per team with its text, one row per edit id and one history row per revision.
package editor
