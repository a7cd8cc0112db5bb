package proxy

// window holds recent response times of a service.
type window struct{}
