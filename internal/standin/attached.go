package standin

import "fmt"

// Attached is an option of NewFleet: it adds attached front ends, one in each of the zones. They are named a1, a2
// and so on, and follow the control members in the list.
func Attached(zones ...string) func(*Fleet) {
	return func(f *Fleet) {
		f.Section["attached"] = map[string]any{"enabled": true}
		for i, zone := range zones {
			name := fmt.Sprintf("a%d", i+1)
			f.Fronts = append(f.Fronts, &Front{
				F:        f,
				N:        len(f.Fronts),
				Name:     name,
				Zone:     zone,
				Attached: true,
				Listen:   freeAddress(f.T, nextAddress()),
				Folder:   f.storageDir(name),
				Admin:    f.adminSocket(name),
			})
		}
	}
}

// Twin adds a second process under a front end's name to the fleet, with proxies of its own to all control members.
// It is not started.
func (f *Fleet) Twin(original *Front) *Front {
	index := len(f.Fronts)
	twin := &Front{
		F:        f,
		N:        index,
		Name:     original.Name,
		Zone:     original.Zone,
		Attached: original.Attached,
		Section:  original.Section,
		Listen:   freeAddress(f.T, nextAddress()),
		Folder:   original.Folder,
		Admin:    f.adminSocket(fmt.Sprintf("%s-%d", original.Name, index)),
		Log:      &LockedBuffer{},
	}
	f.Fronts = append(f.Fronts, twin)
	for _, controlMember := range f.Controls() {
		f.startProxy(twin, controlMember)
	}
	return twin
}
