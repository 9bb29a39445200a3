package fawnlb.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Cuts pieces of any size into lines; a line may come in many pieces, and a piece may hold many lines. */
final class LineSplitter {
    private final int longest;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    LineSplitter(int longest) {
        this.longest = longest;
    }

    List<String> feed(ByteBuffer bytes) throws IOException {
        List<String> lines = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n') {
                lines.add(rest());
            } else if (line.size() < longest) {
                line.write(b);
            } else {
                throw new IOException("line longer than " + longest + " bytes");
            }
        }
        return lines;
    }

    /** What has come since the last line's end. */
    String rest() {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        return text;
    }
}
