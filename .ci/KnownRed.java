import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/**
 * Judges a run of the tests against KNOWN-RED.txt: just the tests listed there may fail, and all of them must. A line is
 * {@code Class.method | cause | issue N}; lines that begin with # and empty ones say nothing.
 */
public final class KnownRed {
    private static final String LINE = "[\\w.$]+\\.[A-Z]\\w*\\.\\w+ \\| \\S.* \\| issue \\d+";

    /** The list cannot be used. */
    static final class DamagedException extends Exception {
        DamagedException(String message) {
            super(message);
        }
    }

    /** Test to its line. */
    static Map<String, String> read(List<String> lines) throws DamagedException {
        Map<String, String> listed = new LinkedHashMap<>();
        for (String line : lines) {
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            if (!line.matches(LINE)) {
                throw new DamagedException("KNOWN-RED.txt: this line cannot be read: " + line);
            }
            if (listed.put(line.substring(0, line.indexOf(" |")), line) != null) {
                throw new DamagedException("KNOWN-RED.txt: this test is there twice: " + line);
            }
        }
        return listed;
    }

    /** What is wrong with a run; empty if nothing is. */
    static List<String> judge(Map<String, String> listed, Map<String, Boolean> passed) {
        List<String> wrong = new ArrayList<>();
        for (Map.Entry<String, Boolean> e : new TreeMap<>(passed).entrySet()) {
            if (!e.getValue() && !listed.containsKey(e.getKey())) {
                wrong.add("failed, and is not listed: " + e.getKey());
            }
        }
        for (String test : listed.keySet()) {
            if (!passed.containsKey(test)) {
                wrong.add("listed, and was not run or does not exist: " + test);
            } else if (passed.get(test)) {
                wrong.add("listed, and passes (strike it from the list): " + test);
            }
        }
        if (passed.isEmpty()) {
            wrong.add("no test was run");
        }
        return wrong;
    }

    /** The tests of the reports below a folder; one with several cases has passed if all of them have. */
    static Map<String, Boolean> results(Path target) throws Exception {
        Map<String, Boolean> passed = new HashMap<>();
        List<Path> reports;
        try (Stream<Path> all = Files.walk(target, 3)) {
            reports = all.filter(p -> p.getFileName().toString().matches("TEST-.*\\.xml")).toList();
        }
        for (Path report : reports) {
            NodeList cases = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(report.toFile())
                    .getElementsByTagName("testcase");
            for (int i = 0; i < cases.getLength(); i++) {
                Element one = (Element) cases.item(i);
                if (one.getElementsByTagName("skipped").getLength() > 0) {
                    continue;
                }
                boolean good = one.getElementsByTagName("failure").getLength() == 0
                        && one.getElementsByTagName("error").getLength() == 0;
                String name = one.getAttribute("name");
                String test = one.getAttribute("classname") + "." + name.replaceFirst("[({\\[].*", "").trim();
                passed.merge(test, good, Boolean::logicalAnd);
            }
        }
        return passed;
    }

    private static void expect(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError("The check of known failures is itself wrong: " + what);
        }
    }

    /** Checks this program: every case that it must tell apart. */
    private static void checkSelf() throws Exception {
        String line = "org.umbermount.a.ATest.one | the cause | issue 3";
        Map<String, String> listed = read(List.of("# words", "", line));
        expect(listed.size() == 1 && listed.containsKey("org.umbermount.a.ATest.one"), "a good line is read");
        for (String bad : List.of("ATest.one", line + " x", "org.umbermount.a.ATest.one | | issue 3", line.replace("issue 3", "3"))) {
            boolean refused = false;
            try {
                read(List.of(bad));
            } catch (DamagedException e) {
                refused = e.getMessage().contains(bad);
            }
            expect(refused, "a damaged line is named: " + bad);
        }
        String one = "org.umbermount.a.ATest.one";
        String two = "org.umbermount.a.ATest.two";
        expect(judge(Map.of(), Map.of(one, true)).isEmpty(), "all pass, none listed");
        expect(judge(listed, Map.of(one, false, two, true)).isEmpty(), "just the listed one fails");
        expect(judge(Map.of(), Map.of(one, false)).size() == 1, "a failure that is not listed");
        expect(judge(listed, Map.of(one, false, two, false)).size() == 1, "another failure beside a listed one");
        expect(judge(listed, Map.of(one, true)).size() == 1, "a listed one that passes");
        expect(judge(listed, Map.of(two, true)).size() == 1, "a listed one that is not there");
        expect(judge(Map.of(), Map.of()).size() == 1, "no test at all");
        Path folder = Files.createTempDirectory("known-red");
        Path report = folder.resolve("TEST-x.xml");
        Files.writeString(report, "<testsuite><testcase classname=\"org.umbermount.a.ATest\" name=\"one(int)[1]\"/>"
                + "<testcase classname=\"org.umbermount.a.ATest\" name=\"one(int)[2]\"><failure/></testcase>"
                + "<testcase classname=\"org.umbermount.a.ATest\" name=\"two\"/></testsuite>");
        Map<String, Boolean> found = results(folder);
        expect(found.equals(Map.of(one, false, two, true)), "reports are read: " + found);
        Files.delete(report);
        Files.delete(folder);
    }

    public static void main(String[] args) throws Exception {
        checkSelf();
        Path list = Path.of(args[1]);
        Map<String, String> listed;
        try {
            listed = read(Files.exists(list) ? Files.readAllLines(list) : List.of());
        } catch (DamagedException | IOException e) {
            System.out.println(e.getMessage());
            System.exit(1);
            return;
        }
        if (args[0].equals("list")) {
            listed.values().forEach(line -> System.out.println("known red: " + line));
            System.out.println("KNOWN-RED.txt lists " + listed.size() + " tests.");
            System.exit(listed.isEmpty() ? 0 : 3);
        }
        List<String> wrong = judge(listed, results(Path.of(args[2])));
        new TreeSet<>(wrong).forEach(System.out::println);
        listed.values().forEach(line -> System.out.println("known red: " + line));
        System.exit(wrong.isEmpty() ? 0 : 1);
    }
}
