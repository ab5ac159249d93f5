// Package editor reads and edits the document in the platform's table service. One row holds the head, one
// each team's text, one each edit id and one each revision's history.
package editor
