; Operators' settings that turn the cold start's phase on: `run` in service.toml with `--operator deploy/cold-start.scm`.
; docs/operations-cold-start.md has the keys. Entries of deploy/draining.scm may stand beside these in one file.
((cold-start 1)
 (cold-start-pace 200))
