package fawnlb.lab.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Comparator;
import java.util.stream.Stream;

/** Folders that a run makes and takes away again. */
final class Directories {
    private Directories() {}

    /** Copies the files of a folder to another, which is made. */
    static void copyFiles(Path directory, Path target) throws IOException {
        Files.createDirectories(target);
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                Files.copy(file, target.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    /** Deletes a folder with all that is in it. */
    static void deleteRecursively(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
