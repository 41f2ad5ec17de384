package lupinvalve.replication;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;
import javax.net.ssl.TrustManagerFactory;
import lupinvalve.config.OperatorConfig;
import lupinvalve.net.Link;
import lupinvalve.net.Net;
import org.apache.mina.core.filterchain.IoFilter;
import org.apache.mina.filter.ssl.SslFilter;

/**
 * Mutual TLS 1.3 on the connections of members to each other, to operators and to subscribers, with certificates of one
 * authority, read from PEM files. The files can be reloaded; established connections keep the certificates that they
 * began with.
 */
final class Tls implements Net.Security {
    static final String VERSION = "TLSv1.3";
    private static final Pattern PEM_BLOCK = Pattern.compile("-----BEGIN ([A-Z0-9 ]+)-----([^-]+)-----END \\1-----");
    /** Type of a DNS name among the subject alternative names of a certificate (RFC 5280). */
    private static final int DNS_NAME_TYPE = 2;

    private final OperatorConfig.Tls files;
    private volatile SSLContext context;

    Tls(OperatorConfig.Tls files) throws IOException {
        this.files = files;
        context = context(files);
    }

    /** Reads the files again for later connections; if they can't be used, throws and changes nothing. */
    void reload() throws IOException {
        context = context(files);
    }

    @Override
    public IoFilter filter(boolean client) {
        SslFilter filter = new SslFilter(context);
        filter.setEnabledProtocols(VERSION);
        if (!client) {
            filter.setNeedClientAuth(true);
        }
        return filter;
    }

    /**
     * Creates a context from the files: the own key and certificate, and the authority that must have issued peers'.
     */
    static SSLContext context(OperatorConfig.Tls files) throws IOException {
        try {
            List<X509Certificate> chain = readCertificates(files.certificate());
            KeyStore own = KeyStore.getInstance("PKCS12");
            own.load(null, null);
            own.setKeyEntry("own", readPrivateKey(files.key()), new char[0], chain.toArray(new Certificate[0]));
            KeyManagerFactory keys = KeyManagerFactory.getInstance("PKIX");
            keys.init(own, new char[0]);
            KeyStore authority = KeyStore.getInstance("PKCS12");
            authority.load(null, null);
            for (X509Certificate certificate : readCertificates(files.authority())) {
                authority.setCertificateEntry("authority" + authority.size(), certificate);
            }
            TrustManagerFactory trust = TrustManagerFactory.getInstance("PKIX");
            trust.init(authority);
            SSLContext context = SSLContext.getInstance(VERSION);
            context.init(keys.getKeyManagers(), trust.getTrustManagers(), null);
            return context;
        } catch (GeneralSecurityException e) {
            throw new IOException("store.tls: " + e.getMessage(), e);
        }
    }

    private static List<byte[]> readPemBlocks(Path file, String type) throws IOException {
        List<byte[]> blocks = new ArrayList<>();
        Matcher pem = PEM_BLOCK.matcher(Files.readString(file, StandardCharsets.US_ASCII));
        while (pem.find()) {
            if (pem.group(1).equals(type)) {
                blocks.add(Base64.getMimeDecoder().decode(pem.group(2)));
            }
        }
        if (blocks.isEmpty()) {
            throw new IOException("store.tls: " + file + " has no " + type + " in PEM");
        }
        return blocks;
    }

    private static List<X509Certificate> readCertificates(Path file) throws IOException, GeneralSecurityException {
        CertificateFactory factory = CertificateFactory.getInstance("X.509");
        List<X509Certificate> certificates = new ArrayList<>();
        for (byte[] block : readPemBlocks(file, "CERTIFICATE")) {
            certificates.add((X509Certificate) factory.generateCertificate(new ByteArrayInputStream(block)));
        }
        return certificates;
    }

    private static PrivateKey readPrivateKey(Path file) throws IOException, GeneralSecurityException {
        PKCS8EncodedKeySpec spec =
                new PKCS8EncodedKeySpec(readPemBlocks(file, "PRIVATE KEY").get(0));
        try {
            return KeyFactory.getInstance("EC").generatePrivate(spec);
        } catch (GeneralSecurityException e) {
            return KeyFactory.getInstance("RSA").generatePrivate(spec);
        }
    }

    /** Throws if the peer's certificate is not for the name that the peer claims. */
    static void check(Link link, String name) throws IOException {
        if (!(link.attribute(SslFilter.SSL_SECURED) instanceof SSLSession session)) {
            throw new HandshakeException("the connection does not use TLS");
        }
        check(session, name);
    }

    /** The same for the TLS session of a socket. */
    static void check(SSLSession session, String name) throws IOException {
        try {
            Collection<List<?>> names =
                    ((X509Certificate) session.getPeerCertificates()[0]).getSubjectAlternativeNames();
            if (names == null
                    || names.stream()
                            .noneMatch(entry -> entry.get(0).equals(DNS_NAME_TYPE)
                                    && entry.get(1).equals(name))) {
                throw new HandshakeException("the peer's certificate is not for " + name);
            }
        } catch (GeneralSecurityException | SSLPeerUnverifiedException e) {
            throw new HandshakeException("the peer's certificate can't be checked: " + e.getMessage(), e);
        }
    }
}
