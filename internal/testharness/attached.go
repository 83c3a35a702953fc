package testharness

import "fmt"

// WithAttachedFrontEnds is an option of NewFleet that adds one attached front end in each of the zones. They are named
// a1, a2 and so on, and follow the control members in Fleet.FrontEnds.
func WithAttachedFrontEnds(zones ...string) func(*Fleet) {
	return func(f *Fleet) {
		f.FleetSettings["attached"] = map[string]any{"enabled": true}
		for i, zone := range zones {
			name := fmt.Sprintf("a%d", i+1)
			f.FrontEnds = append(f.FrontEnds, &FrontEnd{
				Fleet:       f,
				Index:       len(f.FrontEnds),
				Name:        name,
				Zone:        zone,
				Attached:    true,
				ClientAddr:  freeAddress(f.T, nextAddress()),
				StorageDir:  f.storageDir(name),
				AdminSocket: f.adminSocket(name),
			})
		}
	}
}

// AddDuplicate adds a second front end with the name and storage of an existing one to the fleet, with proxies of its
// own to all control members. It does not start it.
func (f *Fleet) AddDuplicate(original *FrontEnd) *FrontEnd {
	index := len(f.FrontEnds)
	duplicate := &FrontEnd{
		Fleet:         f,
		Index:         index,
		Name:          original.Name,
		Zone:          original.Zone,
		Attached:      original.Attached,
		FleetSettings: original.FleetSettings,
		ClientAddr:    freeAddress(f.T, nextAddress()),
		StorageDir:    original.StorageDir,
		AdminSocket:   f.adminSocket(fmt.Sprintf("%s-%d", original.Name, index)),
		Log:           &LogBuffer{},
	}
	f.FrontEnds = append(f.FrontEnds, duplicate)
	for _, controlMember := range f.ControlMembers() {
		f.startProxy(duplicate, controlMember)
	}
	return duplicate
}
