package lupinvalve.capacity;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The difference that the page counts holds at least what was changed, and is no more than a document. */
class DocumentDifferencesTest {
    @Test
    void theDifferenceLiesBetweenThreeBytesAndADocument() {
        double bytes = DocumentDifferences.farApart(1200, 178);
        assertTrue(bytes >= 3 && bytes <= 1200 * 178, "bytes: " + bytes);
    }
}
