package lupinvalve.capacity;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The computed difference is at least as large as the three changed bytes and at most as large as the document. */
class DocumentDifferencesTest {
    @Test
    void differenceIsBetweenThreeBytesAndTheDocumentSize() {
        double bytes = DocumentDifferences.farApart(1200, 178);
        assertTrue(bytes >= 3 && bytes <= 1200 * 178, "bytes: " + bytes);
    }
}
