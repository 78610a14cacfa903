#!/usr/bin/env bash
# TROUBLE=0: the same without the disruption.
exec "$(dirname "$0")/../support/run.sh" 4
