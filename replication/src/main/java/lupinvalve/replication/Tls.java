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
 * TLS 1.3 between members and with operators, both sides with certificates of one authority, from PEM files. Read anew
 * on demand: connections that are up keep what they began with.
 */
final class Tls implements Net.Security {
    static final String VERSION = "TLSv1.3";
    private static final Pattern PEM = Pattern.compile("-----BEGIN ([A-Z0-9 ]+)-----([^-]+)-----END \\1-----");
    private static final int DNS_NAME = 2;
    private final OperatorConfig.Tls files;
    private volatile SSLContext context;

    Tls(OperatorConfig.Tls files) throws IOException {
        this.files = files;
        context = context(files);
    }

    /** Takes over what the files say now; throws, and changes nothing, where they can't be used. */
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

    /** What the files have: own key and certificate, and the authority that peers' must be of. */
    static SSLContext context(OperatorConfig.Tls files) throws IOException {
        try {
            List<X509Certificate> chain = certificates(files.certificate());
            KeyStore own = KeyStore.getInstance("PKCS12");
            own.load(null, null);
            own.setKeyEntry("own", key(files.key()), new char[0], chain.toArray(new Certificate[0]));
            KeyManagerFactory keys = KeyManagerFactory.getInstance("PKIX");
            keys.init(own, new char[0]);
            KeyStore authority = KeyStore.getInstance("PKCS12");
            authority.load(null, null);
            for (X509Certificate one : certificates(files.authority())) {
                authority.setCertificateEntry("authority" + authority.size(), one);
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

    private static List<byte[]> blocks(Path file, String kind) throws IOException {
        List<byte[]> blocks = new ArrayList<>();
        Matcher pem = PEM.matcher(Files.readString(file, StandardCharsets.US_ASCII));
        while (pem.find()) {
            if (pem.group(1).equals(kind)) {
                blocks.add(Base64.getMimeDecoder().decode(pem.group(2)));
            }
        }
        if (blocks.isEmpty()) {
            throw new IOException("store.tls: " + file + " has no " + kind + " in PEM");
        }
        return blocks;
    }

    private static List<X509Certificate> certificates(Path file) throws IOException, GeneralSecurityException {
        CertificateFactory factory = CertificateFactory.getInstance("X.509");
        List<X509Certificate> all = new ArrayList<>();
        for (byte[] block : blocks(file, "CERTIFICATE")) {
            all.add((X509Certificate) factory.generateCertificate(new ByteArrayInputStream(block)));
        }
        return all;
    }

    private static PrivateKey key(Path file) throws IOException, GeneralSecurityException {
        PKCS8EncodedKeySpec spec =
                new PKCS8EncodedKeySpec(blocks(file, "PRIVATE KEY").get(0));
        try {
            return KeyFactory.getInstance("EC").generatePrivate(spec);
        } catch (GeneralSecurityException e) {
            return KeyFactory.getInstance("RSA").generatePrivate(spec);
        }
    }

    /** Throws where the peer's certificate does not name it as it says. */
    static void check(Link link, String name) throws IOException {
        if (!(link.attribute(SslFilter.SSL_SECURED) instanceof SSLSession session)) {
            throw new HandshakeException("no TLS");
        }
        check(session, name);
    }

    /** The same for a session of a plain socket. */
    static void check(SSLSession session, String name) throws IOException {
        try {
            Collection<List<?>> names =
                    ((X509Certificate) session.getPeerCertificates()[0]).getSubjectAlternativeNames();
            if (names == null
                    || names.stream()
                            .noneMatch(one ->
                                    one.get(0).equals(DNS_NAME) && one.get(1).equals(name))) {
                throw new HandshakeException("its certificate is not for " + name);
            }
        } catch (GeneralSecurityException | SSLPeerUnverifiedException e) {
            throw new HandshakeException("its certificate: " + e.getMessage(), e);
        }
    }
}
