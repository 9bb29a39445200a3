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

/** What the pages name exists: classes, test classes, log lines and other pages. */
public class DocumentationTest {
    private static final Path ROOT = Path.of("..");
    private static final Path SOURCES = Path.of("src/main/java/fawnlb");
    private static final Pattern CLASS = Pattern.compile("`([a-z]+)\\.([A-Z][A-Za-z]+)`");
    /** A type in code font, perhaps with a member; not the names of constants, which are all upper case. */
    private static final Pattern TYPE = Pattern.compile("`([A-Z][a-z][A-Za-z]*)[`.]");

    /** A class of the node or of the lab with its package, perhaps with a member. */
    private static final Pattern QUALIFIED_CLASS = Pattern.compile("`([a-z]+)\\.([A-Z][A-Za-z]+)(\\.[A-Za-z_]+)?`");

    /** A test class, perhaps with a test, whose name may be cut with three dots. */
    private static final Pattern TEST =
            Pattern.compile("`([A-Z][A-Za-z]+(?:Test|IT))(?:\\.([a-z][A-Za-z]+)(\\.\\.\\.)?)?`");

    private static final Path LAB_SOURCES = ROOT.resolve("lab/src/main/java/fawnlb/lab");
    private static final Path ON_CALL_PAGE = ROOT.resolve("docs/operations/on-call.md");
    /** The arguments of a call that begins a log line. */
    private static final Pattern EVENT_CALL = Pattern.compile("(?:LogLine\\.event|logLine)\\(([^()]*)\\)");

    private static final Pattern LITERAL = Pattern.compile("\"([^\"\\\\]+)\"");
    /** Calls that log a text without pairs: the message of an uncaught error, or a plain line. */
    private static final Pattern PLAIN_CALL = Pattern.compile(
            "(?:UncaughtErrorHandler\\.run\\([^\";]*|LOG\\.(?:log\\(Level\\.[A-Z]+,|(?:info|warning|severe)\\()\\s*)"
                    + "\"([^\"\\\\]+)");
    /** The first cell of a row of the table of log lines: the event, then perhaps pairs. */
    private static final Pattern LOG_LINE_ROW = Pattern.compile("(?m)^\\| `([^`]+?)(?: [a-z_]+=[^`]*)?`");

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

    /** The table of renamed types has names that are gone. */
    @Test
    public void classesNamedOnAnyPageExist() throws IOException {
        List<String> missing = new ArrayList<>();
        for (Path page : pages()) {
            if (page.endsWith("renamed-types.md")) {
                continue;
            }
            for (Matcher matcher = QUALIFIED_CLASS.matcher(Files.readString(page)); matcher.find(); ) {
                String file = matcher.group(1) + '/' + matcher.group(2) + ".java";
                if (!Files.exists(SOURCES.resolve(file)) && !Files.exists(LAB_SOURCES.resolve(file))) {
                    missing.add(page + " names " + matcher.group());
                }
            }
        }
        assertEquals(List.of(), missing);
    }

    @Test
    public void testsNamedOnAnyPageExist() throws IOException {
        String tests = testSources();
        List<String> missing = new ArrayList<>();
        for (Path page : pages()) {
            for (Matcher matcher = TEST.matcher(Files.readString(page)); matcher.find(); ) {
                String method = matcher.group(2) == null
                        ? ""
                        : " void " + matcher.group(2) + (matcher.group(3) == null ? "(" : "");
                if (!tests.contains("class " + matcher.group(1) + " ") || !tests.contains(method)) {
                    missing.add(page + " names " + matcher.group());
                }
            }
        }
        assertEquals(List.of(), missing);
    }

    /** The text of all test classes of both modules. */
    private static String testSources() throws IOException {
        StringBuilder text = new StringBuilder();
        for (String module : List.of("node", "lab")) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(module).resolve("src/test/java"))) {
                for (Path file :
                        files.filter(file -> file.toString().endsWith(".java")).toList()) {
                    text.append(Files.readString(file));
                }
            }
        }
        return text.toString();
    }

    @Test
    public void logLinesInTheCodeAreOnTheOnCallPage() throws IOException {
        String page = Files.readString(ON_CALL_PAGE);
        Set<String> events = loggedEvents();
        assertTrue(events.toString(), events.size() > 30);
        assertEquals(
                List.of(),
                events.stream().filter(event -> !page.contains('`' + event)).toList());
    }

    @Test
    public void logLinesOnTheOnCallPageAreInTheCode() throws IOException {
        String page = Files.readString(ON_CALL_PAGE);
        String table = page.substring(page.indexOf("## Log lines"), page.indexOf("## Counters"));
        Set<String> events = loggedEvents();
        List<String> unknown = new ArrayList<>();
        int rows = 0;
        for (Matcher matcher = LOG_LINE_ROW.matcher(table); matcher.find(); ) {
            rows++;
            if (!events.contains(matcher.group(1))) {
                unknown.add(matcher.group(1));
            }
        }
        assertTrue("only " + rows + " rows", rows > 30);
        assertEquals(List.of(), unknown);
    }

    /** The events of all log lines of the node, at any level. */
    private static Set<String> loggedEvents() throws IOException {
        Set<String> events = new TreeSet<>();
        for (Path file : sourceFiles()) {
            String text = Files.readString(file);
            for (Matcher call = EVENT_CALL.matcher(text); call.find(); ) {
                for (Matcher literal = LITERAL.matcher(call.group(1)); literal.find(); ) {
                    events.add(literal.group(1));
                }
            }
            for (Matcher call = PLAIN_CALL.matcher(text); call.find(); ) {
                events.add(call.group(1));
            }
        }
        return events;
    }

    /** All source files but that of the log line, whose comments have examples. */
    private static List<Path> sourceFiles() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            return files.filter(file -> file.toString().endsWith(".java") && !file.endsWith("LogLine.java"))
                    .toList();
        }
    }

    private static List<Path> pages() throws IOException {
        List<Path> pages = new ArrayList<>(List.of(ROOT.resolve("README.md"), ROOT.resolve("CONTRIBUTING.md")));
        try (Stream<Path> files = Files.walk(ROOT.resolve("docs"))) {
            files.filter(file -> file.toString().endsWith(".md")).forEach(pages::add);
        }
        return pages;
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
        List<String> missing = new ArrayList<>();
        for (Path page : pages()) {
            findAll(PAGE, Files.readString(page)).stream()
                    .filter(name -> !Files.exists(ROOT.resolve(name)))
                    .forEach(name -> missing.add(page + " names " + name));
        }
        assertEquals(List.of(), missing);
    }
}
