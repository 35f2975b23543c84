#!/bin/sh
# Runs a case five times with its disruption and once without, and writes the exit codes to runs.txt. Usage: five.sh N
cd "$(dirname "$0")/../$1" || exit 2
{
  TROUBLE=0 ./run.sh > out.txt 2>&1
  echo "without the disruption: exit $?; $(grep verdict out.txt)"
  for at in 1 2 3 4 5; do
    ./run.sh > out.txt 2>&1
    echo "run $at: exit $?; $(grep verdict out.txt)"
  done
} > runs.txt
rm -f out.txt
