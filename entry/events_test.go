package entry_test

import "fmt"

// versionedEvent returns an event that names the software version of its upstream, if it has one.
func versionedEvent(id string, number int, version string) string {
	if version == "" {
		return eventText(id, number)
	}
	return fmt.Sprintf("id: %d\nevent: %s\ndata: %s\n\n", number, version, id)
}

func eventText(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, id)
}

// completeStream returns the body of a complete stream.
func completeStream(id string) string {
	body := ""
	for number := range eventCount {
		body += eventText(id, number+1)
	}
	return body
}
