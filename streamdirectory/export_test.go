package streamdirectory

// Update reads the origins that streams can have now.
func (dr *Directory) Update() { dr.update() }
