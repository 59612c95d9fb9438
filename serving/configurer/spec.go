package configurer

// Doc is a set of configuration objects as operators write them.
type Doc struct {
	Classes  []ClassSpec   `json:"classes,omitempty" cbor:"1,keyasint,omitempty"`
	Services []ServiceSpec `json:"services,omitempty" cbor:"2,keyasint,omitempty"`
	Adapters []AdapterSpec `json:"adapters,omitempty" cbor:"3,keyasint,omitempty"`
}

// ClassSpec is a class as operators write it; durations are Go's, such as "800ms".
type ClassSpec struct {
	Name   string `json:"name" cbor:"1,keyasint"`
	Urgent bool   `json:"urgent,omitempty" cbor:"2,keyasint,omitempty"`
	Long   bool   `json:"long,omitempty" cbor:"3,keyasint,omitempty"`
	First  string `json:"first,omitempty" cbor:"4,keyasint,omitempty"`
	Total  string `json:"total,omitempty" cbor:"5,keyasint,omitempty"`
}

// ServiceSpec is a service as operators write it; its first class is the default.
type ServiceSpec struct {
	Name    string     `json:"name" cbor:"1,keyasint"`
	Kind    Kind       `json:"kind" cbor:"2,keyasint"`
	Classes []string   `json:"classes" cbor:"3,keyasint"`
	Calls   []CallSpec `json:"calls,omitempty" cbor:"4,keyasint,omitempty"`
}

// CallSpec declares calls of a plain service; Path is a pattern.
type CallSpec struct {
	Method     string `json:"method" cbor:"1,keyasint"`
	Path       string `json:"path" cbor:"2,keyasint"`
	Idempotent bool   `json:"idempotent" cbor:"3,keyasint"`
}

// AdapterSpec is an adapter as operators write it; with current 0, requests must name a version.
type AdapterSpec struct {
	Name     string        `json:"name" cbor:"1,keyasint"`
	Service  string        `json:"service" cbor:"2,keyasint"`
	Class    string        `json:"class,omitempty" cbor:"3,keyasint,omitempty"`
	Current  int           `json:"current" cbor:"4,keyasint"`
	Versions []VersionSpec `json:"versions,omitempty" cbor:"5,keyasint,omitempty"`
}

// VersionSpec is one immutable version of an adapter as operators write it.
type VersionSpec struct {
	Number int    `json:"number" cbor:"1,keyasint"`
	Source string `json:"source" cbor:"2,keyasint"`
	Digest string `json:"digest" cbor:"3,keyasint"`
}
