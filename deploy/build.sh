# Puts the locked libraries under target/deps and compiles our own sources: the VMs read the
# repository without writing to it, so that each start would compile them anew.
set -eu
if [ ! -e target/deps/.done ] || [ deploy/requirements.lock -nt target/deps/.done ]; then
    rm -rf target/deps
    python3 -m pip install -q --require-hashes --target target/deps -r deploy/requirements.lock
    touch target/deps/.done
fi
# Without asserts and doc strings a daemon's libraries take 2.4 MB less memory.
python3 -OO -m compileall -q target/deps packages/*/src platform
