/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.X509Certificate;
import java.util.concurrent.atomic.AtomicReference;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManagerFactory;
import org.larkkeel.event.Event;
import org.larkkeel.http.Node;
import org.larkkeel.lib.RequestId;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the listener with TLS. The keys in the resources are used by these tests only. */
public class TlsTest {
  private static final char[] PASSWORD = "changeit".toCharArray();
  private static final String GET =
      "GET /healthz HTTP/1.1\r\nHost: t\r\nX-Larkkeel-Workspace: open\r\n\r\n";

  /** Reload of certificates, and disconnects of callers. */
  public static class Listener {
    private final AtomicReference<String> store = new AtomicReference<>("certificate-1");
    private Node node;

    /** Starts the node. */
    @BeforeMethod
    public void start() {
      store.set("certificate-1");
      node = new Node(s -> s.withTls(() -> context(store.get())));
    }

    /** Stops the node. */
    @AfterMethod(alwaysRun = true)
    public void stop() {
      node.close();
    }

    /**
     * After a reload, new connections use the new certificate, and open connections continue with
     * the old one.
     */
    @Test
    public void reloadsCertificate() throws Exception {
      try (SSLSocket old = connect("certificate-1")) {
        assertEquals(get(old), "HTTP/1.1 200 OK");
        store.set("certificate-2");
        node.reloadTls();
        try (SSLSocket fresh = connect("certificate-2")) {
          assertEquals(get(fresh), "HTTP/1.1 200 OK");
          assertEquals(subject(fresh), "CN=certificate-2");
        }
        old.getInputStream().skipNBytes(old.getInputStream().available());
        assertEquals(get(old), "HTTP/1.1 200 OK");
        assertEquals(subject(old), "CN=certificate-1");
      }
    }

    /** A disconnect of a caller is reported with TLS as well. */
    @Test
    public void reportsDisconnect() throws Exception {
      try (SSLSocket caller = connect("certificate-1")) {
        caller
            .getOutputStream()
            .write(GET.replace("healthz", "x").getBytes(StandardCharsets.UTF_8));
        RequestId id = node.arrival();
        caller.close();
        assertEquals(node.await(Event.CallerGone.class).request(), id);
      }
    }

    private SSLSocket connect(String trusted) throws Exception {
      SSLSocket socket =
          (SSLSocket)
              context(trusted)
                  .getSocketFactory()
                  .createSocket(node.address().getAddress(), node.address().getPort());
      socket.setSoTimeout(Node.TIMEOUT_SECONDS * 1_000);
      socket.startHandshake();
      return socket;
    }

    private static String get(SSLSocket socket) throws IOException {
      OutputStream out = socket.getOutputStream();
      out.write(GET.getBytes(StandardCharsets.UTF_8));
      out.flush();
      return new String(
          socket.getInputStream().readNBytes("HTTP/1.1 200 OK".length()), StandardCharsets.UTF_8);
    }

    private static String subject(SSLSocket socket) throws Exception {
      X509Certificate certificate = (X509Certificate) socket.getSession().getPeerCertificates()[0];
      return certificate.getSubjectX500Principal().getName();
    }
  }

  private static SSLContext context(String name) {
    try (InputStream in = TlsTest.class.getResourceAsStream("/" + name + ".p12")) {
      KeyStore store = KeyStore.getInstance("PKCS12");
      store.load(in, PASSWORD);
      KeyManagerFactory keys =
          KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
      keys.init(store, PASSWORD);
      TrustManagerFactory trust =
          TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
      KeyStore trusted = KeyStore.getInstance("PKCS12");
      trusted.load(null, null);
      trusted.setCertificateEntry("server", store.getCertificate("server"));
      trust.init(trusted);
      SSLContext context = SSLContext.getInstance("TLS");
      context.init(keys.getKeyManagers(), trust.getTrustManagers(), null);
      return context;
    } catch (IOException | GeneralSecurityException e) {
      throw new IllegalStateException(e);
    }
  }
}
