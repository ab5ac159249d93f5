// Package sendaudit records the sends of one request and panics before one of them would break a delivery guarantee.
package sendaudit
