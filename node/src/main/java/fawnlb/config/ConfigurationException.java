package fawnlb.config;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A configuration that cannot be used. The message is one line: the file, the setting, and what was expected of it. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1;

    private final String file;
    private final String setting;
    private final String expected;

    /**
     * Creates an exception for a setting.
     *
     * @param file the file that is wrong, null if the value may come from the environment or the command line
     * @param setting the path of the setting, null if the file as a whole cannot be used
     * @param expected what was expected, and what was found
     */
    public ConfigurationException(Path file, String setting, String expected) {
        this(file, setting, expected, null);
    }

    private ConfigurationException(Path file, String setting, String expected, Throwable cause) {
        super(
                Stream.of(file, setting, expected)
                        .filter(Objects::nonNull)
                        .map(Object::toString)
                        .collect(Collectors.joining(": ")),
                cause);
        this.file = file == null ? null : file.toString();
        this.setting = setting;
        this.expected = expected;
    }

    /** Creates an exception for a file that cannot be read, or that is not JSON. */
    public static ConfigurationException unreadable(Path file, IOException cause) {
        String reason = cause instanceof NoSuchFileException
                ? "no such file"
                : String.valueOf(cause.getMessage()).lines().findFirst().orElse("unreadable");
        return new ConfigurationException(file, null, reason, cause);
    }

    /** The file that is wrong, null if the value may come from the environment or the command line. */
    public String file() {
        return file;
    }

    /** The path of the setting that is wrong, null if the file as a whole cannot be used. */
    public String setting() {
        return setting;
    }

    /** What was expected, and what was found. */
    public String expected() {
        return expected;
    }
}
