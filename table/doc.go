// Package table defines the interface of the platform's transactional table service.
package table
