package fawnlb.lab.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Comparator;
import java.util.stream.Stream;

/** Creates, copies and deletes the directories of a run. */
public final class Directories {
    private Directories() {}

    /** Creates an empty directory for the files of one run. */
    public static Path createTemporary() throws IOException {
        return Files.createTempDirectory("fawnlb-lab");
    }

    /** Copies the regular files of a directory to another one, which is created if it is missing. */
    public static void copyFiles(Path directory, Path target) throws IOException {
        Files.createDirectories(target);
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                Files.copy(file, target.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    /** Deletes a directory and everything in it. */
    public static void deleteRecursively(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
