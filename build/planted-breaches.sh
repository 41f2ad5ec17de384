#!/usr/bin/env bash
# Plants a breach of each rule in each part of the tree that the linter holds, in a copy, and checks that each is found.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z -- . ':!journal' | xargs -0 cp --parents -t "$copy"
cd "$copy"

plant() { # FOLDER PACKAGE
    {
        echo "package $2;"
        echo 'import java.util.*;'
        echo 'import java.util.Map;'
        echo 'import java.util.Map;'
        echo 'public class PlantedBreaches {'
        echo '    static int s;'
        echo '    int m;'
        echo '    int first = 1, second = 2;'
        echo '    record Planted(int a) {}'
        echo '    public void run(int p) {'
        echo '        int q = 3;'
        echo '        final int z = 1234;'
        echo '        Object value = p;'
        echo '        if (value instanceof Integer v) { System.out.println(v + z); }'
        echo '        try { run(p); } catch (RuntimeException x) { throw x; }'
        for line in $(seq 60); do echo "        m += p + $line;"; done
        echo '    }'
        for line in $(seq 440); do echo; done
        echo '}'
    } > "$1/PlantedBreaches.java"
}

rules="AvoidStarImport RedundantImport UnusedImports MultipleVariableDeclarations UnusedLocalVariable MethodLength FileLength
    LocalVariableName LocalFinalVariableName ParameterName MemberName StaticVariableName RecordComponentName PatternVariableName
    CatchParameterName"
parts=()
for sources in */src/main */src/test; do
    module=${sources%%/*}
    kind=${sources##*/}
    if grep -qF "]$module"'[/\\]src[/\\]'"$kind[" build/checkstyle-unfinished.xml; then
        continue
    fi
    first=$(find "$sources/java" -name '*.java' -not -name package-info.java 2>/dev/null | sort | head -n 1)
    [ -n "$first" ] || continue
    plant "$(dirname "$first")" "$(sed -n 's/^package \(.*\);$/\1/p' "$first")"
    parts+=("$sources")
done
mvn -B --fail-at-end -Dspotless.check.skip -Dcheckstyle.failOnViolation=false validate > linter.log 2>&1 || true
missed=0
for sources in "${parts[@]}"; do
    module=${sources%%/*}
    kind=${sources##*/}
    expected=$rules
    [ "$kind" = test ] || expected="$expected MissingJavadocType MissingJavadocMethod"
    [ "$sources" != routing/src/main ] || expected="$expected MagicNumber"
    grep -F "/$sources/" linter.log | grep -F PlantedBreaches > found.log || true
    for rule in $expected; do
        if ! grep -qF "[$rule]" found.log; then
            echo "NOT FOUND: $rule in $sources"
            missed=1
        fi
    done
done
if mvn -q -B spotless:check > formatter.log 2>&1; then
    echo "NOT FOUND by the formatter"
    missed=1
fi
echo "${#parts[@]} parts, $(echo $rules | wc -w) rules in each, doc comments in main code, magic numbers in routing; missed: $missed"
exit "$missed"
