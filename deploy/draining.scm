; Operators' settings that turn planned draining on: `run` in service.toml with `--operator deploy/draining.scm`.
; docs/operations-draining.md has the keys. A team that is not named here has agreed to nothing: its replicas stay,
; its arrays and gangs are let finish.
((draining 1)
 (drain-machines-at-once 4)
 ; "*" stands for every team without a budget of its own.
 (drain-budget "*" (tasks 2) (replica-s 120) (work-s 600) (window-s 3600)))
