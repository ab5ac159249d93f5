// Package table is the platform's transactional table service as the rest of the program sees it.
package table
