import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;

/**
 * Holds the tests' reports against KNOWN-RED.txt: the tests that fail for a real fault not yet mended, three at most,
 * one a line as {@code class#method; cause; issue}. Only these may fail, and they must. Without the file, or with an
 * empty one, all tests count.
 *
 * <p>{@code java .ci/KnownRed.java ROOT} after a run that ignored failures; exit 1 where the rule is broken.
 */
public final class KnownRed {
    private static final int MOST = 3;

    private KnownRed() {}

    public static void main(String[] args) throws IOException, XMLStreamException {
        Path root = Path.of(args.length > 0 ? args[0] : ".");
        List<String> wrong = new ArrayList<>();
        Map<String, String> listed = listed(root.resolve("KNOWN-RED.txt"), wrong);
        Map<String, Boolean> passed = new TreeMap<>();
        try (Stream<Path> files = Files.walk(root, 4)) {
            for (Path file : files.filter(f -> f.toString().matches(".*/target/surefire-reports/TEST-[^/]*\\.xml"))
                    .toList()) {
                read(file, passed);
            }
        }
        if (passed.isEmpty()) {
            wrong.add("no test ran");
        }
        for (Map.Entry<String, String> red : listed.entrySet()) {
            Boolean good = passed.get(red.getKey());
            System.out.println("known red: " + red.getKey() + " "
                    + (good == null ? "did not run" : good ? "passed" : "failed") + ": " + red.getValue());
            if (good == null) {
                wrong.add("KNOWN-RED.txt lists a test that does not exist: " + red.getKey());
            } else if (good) {
                wrong.add("KNOWN-RED.txt lists a test that passes: " + red.getKey());
            }
        }
        passed.forEach((test, good) -> {
            if (!good && !listed.containsKey(test)) {
                wrong.add("failed: " + test);
            }
        });
        long failed = passed.values().stream().filter(good -> !good).count();
        System.out.println(passed.size() - failed + " passed, " + failed + " failed");
        wrong.forEach(line -> System.out.println("WRONG " + line));
        if (!wrong.isEmpty()) {
            System.exit(1);
        }
    }

    private static Map<String, String> listed(Path file, List<String> wrong) throws IOException {
        Map<String, String> listed = new LinkedHashMap<>();
        if (!Files.exists(file)) {
            return listed;
        }
        for (String line : Files.readAllLines(file)) {
            String[] parts = line.split(";", 3);
            if (line.isBlank()) {
                continue;
            }
            if (parts.length < 3
                    || !parts[0].strip().matches("[\\w.]+#\\w+")
                    || parts[1].isBlank()
                    || parts[2].isBlank()) {
                wrong.add("KNOWN-RED.txt: not class#method; cause; issue: " + line);
            } else if (listed.put(parts[0].strip(), parts[1].strip() + "; " + parts[2].strip()) != null) {
                wrong.add("KNOWN-RED.txt lists twice: " + parts[0].strip());
            }
        }
        if (listed.size() > MOST) {
            wrong.add("KNOWN-RED.txt has " + listed.size() + " lines, " + MOST + " at most");
        }
        return listed;
    }

    /** A test with parameters counts as one, which passes where all its cases do. */
    private static void read(Path file, Map<String, Boolean> passed) throws IOException, XMLStreamException {
        try (InputStream in = Files.newInputStream(file)) {
            XMLStreamReader xml = XMLInputFactory.newDefaultFactory().createXMLStreamReader(in);
            String test = null;
            while (xml.hasNext()) {
                int event = xml.next();
                if (event == XMLStreamConstants.START_ELEMENT
                        && xml.getLocalName().equals("testcase")) {
                    String name = xml.getAttributeValue(null, "name");
                    test = xml.getAttributeValue(null, "classname") + "#" + name.replaceAll("[^\\w].*", "");
                    passed.putIfAbsent(test, true);
                } else if (event == XMLStreamConstants.START_ELEMENT
                        && test != null
                        && (xml.getLocalName().equals("failure")
                                || xml.getLocalName().equals("error"))) {
                    passed.put(test, false);
                }
            }
        }
    }
}
