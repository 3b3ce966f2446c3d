.PHONY: build format lint test race fuzz bench
build:
	go build -o bin/plantainrun ./cmd/plantainrun
format:
	gofmt -w $$(git ls-files '*.go')
lint:
	./.ci/lint
test:
	./.ci/test
race:
	./.ci/test -race
fuzz:
	./.ci/fuzz
bench:
	go test -run '^$$' -bench . -benchmem ./...
