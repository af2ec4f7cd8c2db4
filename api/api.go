// Package api has the OpenAPI schema of the client-facing HTTP API, and a client generated from it.
package api

//go:generate go run github.com/oapi-codegen/oapi-codegen/v2/cmd/oapi-codegen@v2.8.2 -generate types,client -package api -o client.gen.go openapi.yaml
