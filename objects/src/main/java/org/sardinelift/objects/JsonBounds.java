package org.sardinelift.objects;

/**
 * Bounds what one part of a JSON document can do to its reader: values that are nested too deeply
 * and numbers that are too long are replaced by null. A parser refuses the whole document for one
 * of them, so that one such object would hide all others of a list.
 */
final class JsonBounds {
    /** Several times the depth of any document of the system or its operators. */
    static final int MAX_DEPTH = 100;

    /** More digits than a number with 64 bits or its decimal fraction has. */
    static final int MAX_NUMBER_LENGTH = 100;

    private static final String NULL = "null";

    private final String text;
    private final StringBuilder bounded;
    private int position;
    private int depth;

    private JsonBounds(String text) {
        this.text = text;
        this.bounded = new StringBuilder(text.length());
    }

    /**
     * Replaces what is out of bounds.
     *
     * @param text a document, which need not be well-formed
     * @return the document without such values
     */
    static String apply(String text) {
        JsonBounds bounds = new JsonBounds(text);
        while (bounds.position < text.length()) {
            bounds.copyToken();
        }
        return bounds.bounded.toString();
    }

    private void copyToken() {
        char next = text.charAt(position);
        int begin = position;
        if (next == '"') {
            position = stringEnd();
            bounded.append(text, begin, position);
        } else if (next == '[' || next == '{') {
            openValue();
        } else if (isNumberPart(next)) {
            position = numberEnd();
            boolean isBounded = position - begin <= MAX_NUMBER_LENGTH;
            bounded.append(isBounded ? text.substring(begin, position) : NULL);
        } else {
            depth -= next == ']' || next == '}' ? 1 : 0;
            bounded.append(next);
            position++;
        }
    }

    private void openValue() {
        if (depth < MAX_DEPTH) {
            depth++;
            bounded.append(text.charAt(position));
            position++;
        } else {
            skipValue();
            bounded.append(NULL);
        }
    }

    private void skipValue() {
        int open = 0;
        do {
            char next = text.charAt(position);
            if (next == '"') {
                position = stringEnd();
            } else {
                open += next == '[' || next == '{' ? 1 : 0;
                open -= next == ']' || next == '}' ? 1 : 0;
                position++;
            }
        } while (open > 0 && position < text.length());
    }

    private int stringEnd() {
        int end = position + 1;
        while (end < text.length() && text.charAt(end) != '"') {
            end += text.charAt(end) == '\\' ? 2 : 1;
        }
        return Math.min(text.length(), end + 1);
    }

    private int numberEnd() {
        int end = position;
        while (end < text.length() && (isNumberPart(text.charAt(end)) || isExponent(end))) {
            end++;
        }
        return end;
    }

    private static boolean isNumberPart(char character) {
        return character >= '0' && character <= '9'
                || character == '-'
                || character == '+'
                || character == '.';
    }

    private boolean isExponent(int index) {
        return text.charAt(index) == 'e' || text.charAt(index) == 'E';
    }
}
