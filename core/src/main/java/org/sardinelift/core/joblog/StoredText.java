package org.sardinelift.core.joblog;

/**
 * Size of a text within a value of the store: a JSON string within a value that the store's calls
 * carry as a JSON string again. Counts the longest form that an encoder may choose, since the store
 * may count a value in another encoding than its calls have.
 */
public final class StoredText {
    /** An escape with four hexadecimal digits whose backslash is escaped. */
    private static final int CONTROL_BYTES = 7;

    /** An escaped character within an escaped text. */
    private static final int ESCAPED_BYTES = 4;

    /** An escape with four hexadecimal digits; the UTF-8 form is shorter. */
    private static final int NON_ASCII_BYTES = 6;

    private static final char FIRST_PRINTABLE = ' ';
    private static final char LAST_ASCII = '~';

    private StoredText() {}

    /**
     * Size of a text.
     *
     * @param text the text
     * @return bytes
     */
    public static long bytes(String text) {
        return text.chars().mapToLong(StoredText::bytes).sum();
    }

    /**
     * End of the longest part of a text that isn't larger than a bound. The part has at least one
     * character, and no surrogate pair is split.
     *
     * @param text the text
     * @param begin index of the first character of the part, less than the length
     * @param maxBytes the bound
     * @return index after the last character of the part
     */
    public static int partEnd(String text, int begin, long maxBytes) {
        long bytes = 0;
        int end = begin;
        while (end < text.length()) {
            int next = text.offsetByCodePoints(end, 1);
            for (int i = end; i < next; i++) {
                bytes += bytes(text.charAt(i));
            }
            if (bytes > maxBytes && end > begin) {
                return end;
            }
            end = next;
        }
        return end;
    }

    private static int bytes(int character) {
        if (character > LAST_ASCII) {
            return NON_ASCII_BYTES;
        }
        if (character < FIRST_PRINTABLE) {
            return CONTROL_BYTES;
        }
        return character == '"' || character == '\\' ? ESCAPED_BYTES : 1;
    }
}
