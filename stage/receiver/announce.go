package receiver

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/gofiber/fiber/v3"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/registrar"
)

const (
	maxNameBytes = 128
	maxSlots     = 100_000
)

// announcement is a backend server's report of itself.
type announcement struct {
	Name        string `json:"name"`
	Kind        string `json:"kind"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	Service     string `json:"service"`
	Incarnation string `json:"incarnation"`
	Slots       int    `json:"slots"`
	Batch       int    `json:"batch"`
	Fenced      bool   `json:"fenced"`
	Leaving     bool   `json:"leaving"`
}

func (r *Receiver) handleAnnouncement(c fiber.Ctx) error {
	var a announcement
	if err := json.Unmarshal(body(c), &a); err != nil {
		return r.refuse(c, *badRequest("", "the announcement is not valid JSON: "+err.Error()))
	}
	if p := a.validate(); p != nil {
		return r.refuse(c, *p)
	}
	r.Control.Announce(registrar.Server{
		Name: a.Name, Kind: configurer.Kind(a.Kind), Addr: a.Addr, Zone: a.Zone, Service: a.Service,
		Incarnation: a.Incarnation, Slots: a.Slots, Batch: a.Batch, Fenced: a.Fenced, Leaving: a.Leaving,
	})
	return c.SendStatus(http.StatusNoContent)
}

func (a *announcement) validate() *problem {
	for _, f := range []struct{ name, value string }{
		{"name", a.Name}, {"zone", a.Zone}, {"service", a.Service}, {"incarnation", a.Incarnation},
	} {
		if f.value == "" || len(f.value) > maxNameBytes || !isVisibleASCII(f.value) {
			return badRequest(f.name, f.name+" must be 1 to 128 printable ASCII characters without spaces")
		}
	}
	kind := configurer.Kind(a.Kind)
	if kind != configurer.KindModel && kind != configurer.KindPlain {
		return badRequest("kind", `kind must be "model" or "plain"`)
	}
	if _, err := netip.ParseAddrPort(a.Addr); err != nil {
		return badRequest("addr", "addr must be ip:port: "+err.Error())
	}
	if a.Batch < 1 || a.Batch > maxSlots {
		return badRequest("batch", "batch must be from 1 to 100000")
	}
	if a.Slots < 0 || a.Slots > maxSlots || kind == configurer.KindModel && a.Slots == 0 {
		return badRequest("slots", "slots must be from 1 to 100000 for a model engine")
	}
	return nil
}
