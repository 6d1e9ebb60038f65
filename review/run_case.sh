#!/bin/sh
# Runs the case in folder $1; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/common" PYTHONDONTWRITEBYTECODE=1 \
    timeout -s INT -k 5 110 python3 "review/$1/case.py"
case $? in
0) exit 0 ;;
3) exit 1 ;;
*) exit 2 ;;
esac
