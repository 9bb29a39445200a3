package fawnlb;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.Test;

/** What the pages name exists: classes, test classes and other pages. */
public class DocumentationTest {
    private static final Path ROOT = Path.of("..");
    private static final Path SOURCES = Path.of("src/main/java/fawnlb");
    private static final Pattern CLASS = Pattern.compile("`([a-z]+)\\.([A-Z][A-Za-z]+)`");
    /** A type in code font, perhaps with a member; not the names of constants, which are all upper case. */
    private static final Pattern TYPE = Pattern.compile("`([A-Z][a-z][A-Za-z]*)[`.]");

    private static final Pattern PAGE = Pattern.compile("`(docs/[A-Za-z0-9/_-]+\\.md)`");

    private static List<String> findAll(Pattern pattern, String text) {
        List<String> matches = new ArrayList<>();
        for (Matcher matcher = pattern.matcher(text); matcher.find(); ) {
            matches.add(matcher.group().replace("`", ""));
        }
        return matches;
    }

    /** The names of all source files in both modules, without their extension. */
    private static Set<String> typeNames() throws IOException {
        Set<String> names = new TreeSet<>();
        for (String module : List.of("node/src", "lab/src")) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(module))) {
                files.map(file -> file.getFileName().toString())
                        .filter(name -> name.endsWith(".java"))
                        .forEach(name -> names.add(name.substring(0, name.length() - ".java".length())));
            }
        }
        return names;
    }

    @Test
    public void typesNamedOnTheInvariantsPageExist() throws IOException {
        String page = Files.readString(ROOT.resolve("docs/design/invariants.md"));
        Set<String> existing = typeNames();
        List<String> missing = new ArrayList<>();
        int named = 0;
        for (Matcher matcher = TYPE.matcher(page); matcher.find(); ) {
            named++;
            if (!existing.contains(matcher.group(1))) {
                missing.add(matcher.group(1));
            }
        }
        assertTrue("only " + named + " types named", named > 30);
        assertEquals(List.of(), missing);
    }

    @Test
    public void classesNamedOnTheOnCallPageExist() throws IOException {
        assertEquals(List.of(), missingClasses("docs/operations/on-call.md", 10));
    }

    @Test
    public void classesNamedOnTheArchitecturePageExist() throws IOException {
        assertEquals(List.of(), missingClasses("docs/ARCHITECTURE.md", 20));
    }

    /** Returns the classes that a page names and that don't exist; fails if it names no more than {@code minNamed}. */
    private static List<String> missingClasses(String page, int minNamed) throws IOException {
        List<String> names = findAll(CLASS, Files.readString(ROOT.resolve(page)));
        assertTrue(names.toString(), names.size() > minNamed);
        return names.stream()
                .filter(name -> !Files.exists(SOURCES.resolve(name.replace('.', '/') + ".java")))
                .toList();
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
