package receiver

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"
)

const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

// modelList is one page of the OpenAI API's list of models.
type modelList struct {
	Object  string      `json:"object"`
	Data    []modelItem `json:"data"`
	FirstID string      `json:"first_id,omitempty"`
	LastID  string      `json:"last_id,omitempty"`
	HasMore bool        `json:"has_more"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	// Parent is the base model.
	Parent  string `json:"parent,omitempty"`
	Version int    `json:"version,omitempty"`
}

// handleModels returns one page of the adapters, sorted by name.
func (r *Receiver) handleModels(c fiber.Ctx) error {
	catalog := r.awaitCatalog()
	if catalog == nil {
		return r.refuse(c, *notReady())
	}
	limit := defaultPageSize
	if s := c.Query("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > maxPageSize {
			return r.refuse(c, *badRequest("limit", "limit must be from 1 to 1000"))
		}
		limit = n
	}
	page := catalog.Page(strings.Clone(c.Query("after")), limit+1)
	list := modelList{Object: "list", Data: make([]modelItem, 0, limit), HasMore: len(page) > limit}
	for _, a := range page[:min(len(page), limit)] {
		list.Data = append(list.Data, modelItem{
			ID: a.Name(), Object: "model", OwnedBy: a.Service(), Parent: a.Service(), Version: a.Current(),
		})
	}
	if n := len(list.Data); n > 0 {
		list.FirstID, list.LastID = list.Data[0].ID, list.Data[n-1].ID
	}
	return c.Status(http.StatusOK).JSON(list)
}
