// Package streamdirectory tells where a stream began, also if another instance served its beginning. Instances keep the origins
// of the streams that they begin, and replicate them to others while more than one origin is possible.
package streamdirectory
