// Package gather hands the items of stages to the instance that fills an upstream's calls, and fills them here.
package gather
