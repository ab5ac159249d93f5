// Package tableservice speaks the table service's and the instance list's protocol: JSON over HTTP.
package tableservice
