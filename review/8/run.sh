#!/bin/sh
exec "$(dirname "$0")/../standin-2/run-case.sh" 8
