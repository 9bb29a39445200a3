package fawnlb;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.Test;

public class DocumentationTest {
    private static final Path ROOT = Path.of("..");
    private static final Path SOURCES = Path.of("src/main/java/fawnlb");
    private static final Pattern CLASS = Pattern.compile("`([a-z]+)\\.([A-Z][A-Za-z]+)`");
    private static final Pattern PAGE = Pattern.compile("`(docs/[A-Za-z0-9/_-]+\\.md)`");

    private static List<String> findAll(Pattern pattern, String text) {
        List<String> matches = new ArrayList<>();
        for (Matcher matcher = pattern.matcher(text); matcher.find(); ) {
            matches.add(matcher.group().replace("`", ""));
        }
        return matches;
    }

    @Test
    public void classesNamedOnTheArchitecturePageExist() throws IOException {
        String page = Files.readString(ROOT.resolve("docs/ARCHITECTURE.md"));
        List<String> names = findAll(CLASS, page);
        assertTrue(names.toString(), names.size() > 20);
        assertEquals(
                List.of(),
                names.stream()
                        .filter(name -> !Files.exists(SOURCES.resolve(name.replace('.', '/') + ".java")))
                        .toList());
    }

    @Test
    public void pagesNamedOnOtherPagesExist() throws IOException {
        List<Path> pages = new ArrayList<>(List.of(ROOT.resolve("README.md"), ROOT.resolve("CONTRIBUTING.md")));
        try (Stream<Path> files = Files.walk(ROOT.resolve("docs"))) {
            files.filter(file -> file.toString().endsWith(".md")).forEach(pages::add);
        }
        List<String> missing = new ArrayList<>();
        for (Path page : pages) {
            findAll(PAGE, Files.readString(page)).stream()
                    .filter(name -> !Files.exists(ROOT.resolve(name)))
                    .forEach(name -> missing.add(page + " names " + name));
        }
        assertEquals(List.of(), missing);
    }
}
