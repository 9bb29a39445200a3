package fawnlb.translation;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Follows the events of a stream without keeping their bytes: how many are complete, whether one has begun, and whether
 * the last one has come. An event is sound if its data is one JSON object, or what ends a stream of the dialect.
 * Comments, unknown fields and blank lines are no part of an event.
 */
public final class EventScanner {
    private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] EVENT_FIELD = "event".getBytes(StandardCharsets.US_ASCII);
    private static final String CHAT_LAST_DATA = "[DONE]";
    private static final String MESSAGES_LAST_NAME = "message_stop";
    private static final Pattern MESSAGES_LAST_DATA = Pattern.compile("\"type\"\\s*:\\s*\"message_stop\"");
    /** The first characters of an event's name and data are retained, to recognise the last event. */
    private static final int MAX_RETAINED_CHARACTERS = 64;

    private enum Field {
        UNDECIDED,
        DATA,
        EVENT,
        OTHER
    }

    private final Dialect dialect;
    private final JsonObjectScanner json = new JsonObjectScanner();
    private final StringBuilder name = new StringBuilder();
    private final StringBuilder data = new StringBuilder();
    private Field field = Field.UNDECIDED;
    private int lineBytes;
    private boolean isValueStart;
    private boolean skipLineFeed;
    private boolean hasData;
    private boolean isDataSound = true;
    private int eventBytes;
    private int completedEvents;
    private boolean hasEventEnd;
    private int largestEventBytes;
    private boolean isLastEventComplete;

    /** Creates a scanner at the start of a stream of this dialect. */
    public EventScanner(Dialect dialect) {
        this.dialect = dialect;
    }

    /** Takes the next bytes; their position stays. */
    public void scan(ByteBuffer bytes) {
        completedEvents = 0;
        hasEventEnd = false;
        for (int i = bytes.position(); i < bytes.limit(); i++) {
            byte next = bytes.get(i);
            boolean isSecondHalfOfCrLf = skipLineFeed && next == '\n';
            skipLineFeed = next == '\r';
            if (isSecondHalfOfCrLf) {
                continue;
            }
            if (next == '\n' || next == '\r') {
                endLine();
            } else {
                addToLine(next);
            }
        }
    }

    /** The sound events that the latest bytes have completed, up to the last one of the stream. */
    public int completedEvents() {
        return completedEvents;
    }

    /** Whether the latest bytes have ended an event with data, be it a sound one or not. */
    public boolean hasEventEnd() {
        return hasEventEnd;
    }

    /** The size of the largest sound event so far, in bytes. */
    public int largestEventBytes() {
        return largestEventBytes;
    }

    /** How many bytes have come of the event that has begun and is not complete; 0 between two events. */
    public int partialEventBytes() {
        return eventBytes;
    }

    /** Whether the event that has begun can still become a sound one. */
    public boolean isPartialEventSound() {
        return isDataSound;
    }

    /** Whether the stream's last event is complete. */
    public boolean isLastEventComplete() {
        return isLastEventComplete;
    }

    private void addToLine(byte next) {
        switch (field) {
            case UNDECIDED -> decideField(next);
            case DATA -> addData(next);
            case EVENT -> addName(next);
            default -> {}
        }
        lineBytes++;
        if (field == Field.DATA || field == Field.EVENT) {
            eventBytes++;
        }
    }

    /** A field's name ends with a colon. */
    private void decideField(byte next) {
        if (next == ':') {
            field = fieldOfNameLength(lineBytes);
            isValueStart = true;
            hasData |= field == Field.DATA;
            eventBytes += field == Field.OTHER ? 0 : lineBytes;
        } else if (!matches(DATA_FIELD, next) && !matches(EVENT_FIELD, next)) {
            field = Field.OTHER;
        }
    }

    private boolean matches(byte[] fieldName, byte next) {
        return lineBytes < fieldName.length && fieldName[lineBytes] == next;
    }

    private static Field fieldOfNameLength(int length) {
        if (length == DATA_FIELD.length) {
            return Field.DATA;
        }
        return length == EVENT_FIELD.length ? Field.EVENT : Field.OTHER;
    }

    private boolean isLeadingSpace(byte next) {
        boolean isLeadingSpace = isValueStart && next == ' ';
        isValueStart = false;
        return isLeadingSpace;
    }

    private void addData(byte next) {
        if (!isLeadingSpace(next)) {
            append(data, next);
            json.scan(next);
            isDataSound = json.isSound() || isStartOfLastData();
        }
    }

    private boolean isStartOfLastData() {
        return dialect == Dialect.CHAT && CHAT_LAST_DATA.startsWith(data.toString());
    }

    private void addName(byte next) {
        if (!isLeadingSpace(next)) {
            append(name, next);
        }
    }

    private static void append(StringBuilder text, byte next) {
        if (text.length() < MAX_RETAINED_CHARACTERS) {
            text.append((char) (next & 0xff));
        }
    }

    private void endLine() {
        if (lineBytes == 0) {
            endEvent();
        } else if (field == Field.DATA) {
            json.scan((byte) '\n');
            eventBytes++;
        } else if (field == Field.EVENT) {
            eventBytes++;
        }
        field = Field.UNDECIDED;
        lineBytes = 0;
    }

    /** An event without data is none. */
    private void endEvent() {
        boolean isLast = isLastEvent();
        hasEventEnd |= hasData;
        if (hasData && (isLast || json.isComplete()) && !isLastEventComplete) {
            completedEvents++;
            largestEventBytes = Math.max(largestEventBytes, eventBytes);
            isLastEventComplete = isLast;
        }
        hasData = false;
        isDataSound = true;
        eventBytes = 0;
        name.setLength(0);
        data.setLength(0);
        json.reset();
    }

    private boolean isLastEvent() {
        if (dialect == Dialect.CHAT) {
            return data.toString().stripTrailing().equals(CHAT_LAST_DATA);
        }
        return name.toString().equals(MESSAGES_LAST_NAME)
                || name.length() == 0
                        && json.isComplete()
                        && MESSAGES_LAST_DATA.matcher(data).find();
    }
}
