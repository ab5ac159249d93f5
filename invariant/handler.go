package invariant

import "net/http"

// Handler calls next and passes a Violation panic to abort, since an HTTP server would recover from it and continue.
func Handler(next http.Handler, abort func(Violation)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer func() {
			switch cause := recover().(type) {
			case nil:
			case Violation:
				abort(cause)
			default:
				panic(cause)
			}
		}()
		next.ServeHTTP(writer, request)
	})
}

// Abort ends the process with a panic in a new goroutine, where no server recovers from it. It does not return.
func Abort(violation Violation) {
	go func() { panic(violation) }()
	select {}
}
