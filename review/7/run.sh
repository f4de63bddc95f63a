#!/bin/sh
# TROUBLE=0 runs the case without its disruption.
exec env TROUBLE="${TROUBLE:-1}" "$(dirname "$0")/../standin-2/run-case.sh" 7
