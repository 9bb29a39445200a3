package fawnlb.translation;

import java.nio.ByteBuffer;
import java.util.regex.Pattern;

/**
 * Follows the events of a stream without keeping their bytes: how many are complete, whether one has begun, and whether
 * the last one has come. An event is complete by the grammar of server-sent events, whatever its name and its data are.
 * Comments, unknown fields, blank lines and events without data are no events.
 */
public final class EventScanner {
    private static final String DATA_FIELD = "data";
    private static final String EVENT_FIELD = "event";
    private static final int MAX_FIELD_NAME_CHARACTERS = Math.max(DATA_FIELD.length(), EVENT_FIELD.length());
    private static final String CHAT_LAST_DATA = "[DONE]";
    private static final String MESSAGES_LAST_NAME = "message_stop";
    private static final Pattern MESSAGES_LAST_DATA = Pattern.compile("^\\s*\\{.*\"type\"\\s*:\\s*\"message_stop\"");
    /** The first characters of an event's name and data are retained, to recognise the last event. */
    private static final int MAX_RETAINED_CHARACTERS = 64;

    private enum Field {
        UNDECIDED,
        DATA,
        EVENT,
        OTHER
    }

    private final Dialect dialect;
    private final StringBuilder fieldName = new StringBuilder();
    private final StringBuilder name = new StringBuilder();
    private final StringBuilder data = new StringBuilder();
    private Field field = Field.UNDECIDED;
    private int lineBytes;
    private boolean isValueStart;
    private boolean skipLineFeed;
    private boolean hasData;
    private int eventBytes;
    private int completedEvents;
    private int largestEventBytes;
    private boolean isLastEventComplete;

    /** Creates a scanner at the start of a stream of this dialect. */
    public EventScanner(Dialect dialect) {
        this.dialect = dialect;
    }

    /** Takes the next bytes; their position stays. */
    public void scan(ByteBuffer bytes) {
        completedEvents = 0;
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

    /** The events that the latest bytes have completed, up to the last one of the stream. */
    public int completedEvents() {
        return completedEvents;
    }

    /** The size of the largest event so far, in bytes. */
    public int largestEventBytes() {
        return largestEventBytes;
    }

    /** How many bytes have come of the event that has begun and is not complete; 0 between two events. */
    public int partialEventBytes() {
        return eventBytes;
    }

    /** Whether the stream's last event is complete. */
    public boolean isLastEventComplete() {
        return isLastEventComplete;
    }

    private void addToLine(byte next) {
        lineBytes++;
        switch (field) {
            case UNDECIDED -> addToFieldName(next);
            case DATA -> addToValue(data, next);
            case EVENT -> addToValue(name, next);
            case OTHER -> {}
        }
    }

    private void addToFieldName(byte next) {
        if (next == ':') {
            beginValue();
        } else if (fieldName.length() < MAX_FIELD_NAME_CHARACTERS) {
            fieldName.append((char) (next & 0xff));
        } else {
            field = Field.OTHER;
        }
    }

    /** A field's name ends with a colon, or with the line if its value is empty. */
    private void beginValue() {
        field = fieldOfName();
        isValueStart = true;
        if (field == Field.DATA) {
            if (hasData) {
                retain(data, '\n');
            }
            hasData = true;
        } else if (field == Field.EVENT) {
            name.setLength(0);
        }
        eventBytes += field == Field.OTHER ? 0 : lineBytes;
    }

    private Field fieldOfName() {
        if (DATA_FIELD.contentEquals(fieldName)) {
            return Field.DATA;
        }
        return EVENT_FIELD.contentEquals(fieldName) ? Field.EVENT : Field.OTHER;
    }

    private void addToValue(StringBuilder value, byte next) {
        eventBytes++;
        boolean isLeadingSpace = isValueStart && next == ' ';
        isValueStart = false;
        if (!isLeadingSpace) {
            retain(value, (char) (next & 0xff));
        }
    }

    private static void retain(StringBuilder text, char next) {
        if (text.length() < MAX_RETAINED_CHARACTERS) {
            text.append(next);
        }
    }

    private void endLine() {
        if (lineBytes == 0) {
            endEvent();
        } else if (field == Field.UNDECIDED) {
            beginValue();
        }
        if (field == Field.DATA || field == Field.EVENT) {
            eventBytes++;
        }
        field = Field.UNDECIDED;
        fieldName.setLength(0);
        lineBytes = 0;
    }

    /** An event without data is none. */
    private void endEvent() {
        if (hasData && !isLastEventComplete) {
            completedEvents++;
            largestEventBytes = Math.max(largestEventBytes, eventBytes);
            isLastEventComplete = isLastEvent();
        }
        hasData = false;
        eventBytes = 0;
        name.setLength(0);
        data.setLength(0);
    }

    private boolean isLastEvent() {
        boolean isUnnamed = name.length() == 0 || SseParser.DEFAULT_EVENT_NAME.contentEquals(name);
        if (dialect == Dialect.CHAT) {
            return isUnnamed && data.toString().stripTrailing().equals(CHAT_LAST_DATA);
        }
        return MESSAGES_LAST_NAME.contentEquals(name)
                || isUnnamed && MESSAGES_LAST_DATA.matcher(data).find();
    }
}
