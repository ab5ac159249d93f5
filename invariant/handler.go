package invariant

import "net/http"

// Handler calls next and hands a breach to stop: an HTTP server would else recover from it and go on.
func Handler(next http.Handler, stop func(Violation)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer func() {
			switch cause := recover().(type) {
			case nil:
			case Violation:
				stop(cause)
			default:
				panic(cause)
			}
		}()
		next.ServeHTTP(writer, request)
	})
}

// Abort ends the process with a breach; no server recovers from it.
func Abort(breach Violation) {
	go func() { panic(breach) }()
	select {}
}
