# Functions that start a small fleet against stand-ins, as separate processes on loopback. This file
# is sourced; all processes are stopped, by process id, when the sourcing script exits.

readonly PEPPER="stand-ins only"
readonly READY_TIMEOUT_S=30
run_dir=$(mktemp -d)
pids=()
declare -A pid_of

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$run_dir"
}
trap stop_all EXIT

# start NAME JAR ARGS...: starts a program and waits for its ready line in NAME.out
start() {
  local name=$1 jar=$2
  shift 2
  java -Xmx128m -XX:+UseSerialGC -jar "$jar/target/$jar.jar" "$@" \
    > "$run_dir/$name.out" 2> "$run_dir/$name.log" &
  pids+=("$!")
  pid_of[$name]=$!
  for _ in $(seq $((READY_TIMEOUT_S * 10))); do
    grep -qs '"ready":true' "$run_dir/$name.out" && return
    kill -0 "${pids[-1]}" 2>/dev/null || break
    sleep 0.1
  done
  echo "$name did not become ready:" >&2
  cat "$run_dir/$name.log" >&2
  exit 1
}

# port NAME FIELD: prints the port of an address in the ready line of NAME
port() { sed -n "s/.*\"$2\":\"[^\"]*:\([0-9]*\)\".*/\1/p" "$run_dir/$1.out"; }

ctl() { java -Xmx64m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar sardinectl/target/sardinectl.jar "$@"; }
admin() { java -Xmx64m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar standins/target/standins.jar admin "$@"; }

# build: builds all jars
build() {
  mvn -B -ntp -q package -DskipTests
}

# platform: starts the platform stand-in
platform() {
  start platform standins platform
  platform_port=$(port platform address)
  export SARDINELIFT_PLATFORM="127.0.0.1:$platform_port"
  export SARDINELIFT_PEPPER="$PEPPER"
}

# companion NAME ZONE TARGET SERVICE ENGINE [MODELS]: starts the companion of the stand-in TARGET
companion() {
  cat > "$run_dir/$1.json" <<SETTINGS
{
  "role": "companion", "instance": "$1", "zone": "$2",
  "platform": {"port": $platform_port},
  "target": {
    "name": "$3", "port": $(port "$3" address), "service": "$4", "engine": $5,
    "models": ${6:-[]}, "slots": ${SLOTS:-8}
  }
}
SETTINGS
  start "$1" sardinelift --settings "$run_dir/$1.json"
  register "$1" companion "$2" "$3"
}

# entry NAME ZONE: starts an entry
entry() {
  cat > "$run_dir/$1.json" <<SETTINGS
{
  "role": "entry", "instance": "$1", "zone": "$2",
  "platform": {"port": $platform_port},
  "keyPepper": "$PEPPER"
}
SETTINGS
  start "$1" sardinelift --settings "$run_dir/$1.json"
  register "$1" entry "$2" ""
}

# register NAME ROLE ZONE TARGET: registers the instance with the platform
register() {
  admin --to "127.0.0.1:$platform_port" --path /admin/instances --json \
    "{\"register\":[{\"name\":\"$1\",\"role\":\"$2\",\"zone\":\"$3\",\"host\":\"127.0.0.1\",\"port\":$(port "$1" peer),\"target\":\"$4\"}]}" > "$run_dir/admin.out"
}

# issue TEAM: issues a key for the team and prints it
issue() { ctl keys issue "$1" --output json | sed -n 's/.*"key" *: *"\([^"]*\)".*/\1/p'; }

# await_key KEY: waits until the entry at SARDINELIFT_ENTRY accepts the key
await_key() {
  for _ in $(seq 50); do
    SARDINELIFT_KEY=$1 ctl ask --model registry-llm --max-tokens 1 "ready?" \
      > "$run_dir/ask.out" 2>&1 && return
    sleep 0.2
  done
  cat "$run_dir/ask.out" >&2
  exit 1
}
