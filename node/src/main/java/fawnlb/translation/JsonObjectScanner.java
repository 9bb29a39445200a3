package fawnlb.translation;

/** Follows a text byte by byte, and says whether it is one JSON object as far as brackets and strings show that. */
final class JsonObjectScanner {
    private int depth;
    private boolean hasBegun;
    private boolean isWithinString;
    private boolean isEscaped;
    private boolean isSound = true;

    /** Starts with a new text. */
    void reset() {
        depth = 0;
        hasBegun = false;
        isWithinString = false;
        isEscaped = false;
        isSound = true;
    }

    /** Takes the next byte. */
    void scan(byte next) {
        if (isWithinString) {
            scanWithinString(next);
        } else if (!isBlank(next)) {
            scanOutsideStrings(next);
        }
    }

    private void scanWithinString(byte next) {
        isSound &= next != '\n';
        isWithinString = isEscaped || next != '"';
        isEscaped = !isEscaped && next == '\\';
    }

    private void scanOutsideStrings(byte next) {
        if (depth == 0) {
            isSound &= !hasBegun && next == '{';
            hasBegun = true;
            depth = 1;
        } else if (next == '"') {
            isWithinString = true;
        } else if (next == '{' || next == '[') {
            depth++;
        } else if (next == '}' || next == ']') {
            depth--;
        }
    }

    private static boolean isBlank(byte next) {
        return next == ' ' || next == '\t' || next == '\n' || next == '\r';
    }

    /** Whether the text can still become an object. */
    boolean isSound() {
        return isSound;
    }

    /** Whether the text is an object. */
    boolean isComplete() {
        return isSound && hasBegun && depth == 0;
    }
}
