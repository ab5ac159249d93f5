// Package document parses the shared document, which is written as one INI text per team, and checks and links its
// sections.
package document
