# Reads one Catch2 XML report; prints "verdict<TAB>program<TAB>test" a test
# case, and the report of each failed one on stderr. A test case without a
# result is one that the program died in.
# Variables: program, its name; code, its exit code.

function unescape(text) {
  gsub(/&lt;/, "<", text)
  gsub(/&gt;/, ">", text)
  gsub(/&quot;/, "\"", text)
  gsub(/&apos;/, "'", text)
  gsub(/&amp;/, "\\&", text)
  return text
}

function finish(verdict) {
  print verdict "\t" program "\t" name
  if (verdict == "failed") {
    print text > "/dev/stderr"
    failed++
  }
  count++
  name = ""
}

/^ *<TestCase / {
  if (name != "")
    finish("failed")
  match($0, /name="[^"]*"/)
  name = unescape(substr($0, RSTART + 6, RLENGTH - 7))
  text = ""
}

name != "" { text = text "\n" $0 }

/^ *<OverallResult / && name != "" {
  finish($0 ~ /success="true"/ ? "passed" : "failed")
}

END {
  if (name != "")
    finish("failed")
  # It ended without naming the test, or died and left the later ones unrun:
  # that is a failure of its own, whatever the tests before it say.
  if (code != 0 && (failed == 0 || code >= 124))
    print "failed\t" program "\t(the program ended with code " code ")"
}
