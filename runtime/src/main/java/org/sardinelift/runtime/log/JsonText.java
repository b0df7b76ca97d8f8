package org.sardinelift.runtime.log;

/** Writes JSON strings (RFC 8259) into log lines. */
final class JsonText {
    private static final int FIRST_PRINTABLE = 0x20;

    private JsonText() {}

    static void append(StringBuilder out, String text) {
        out.append('"');
        for (int i = 0; i < text.length(); i++) {
            appendChar(out, text.charAt(i));
        }
        out.append('"');
    }

    private static void appendChar(StringBuilder out, char character) {
        if (character == '"' || character == '\\') {
            out.append('\\').append(character);
        } else if (character < FIRST_PRINTABLE) {
            out.append(String.format("\\u%04x", (int) character));
        } else {
            out.append(character);
        }
    }
}
