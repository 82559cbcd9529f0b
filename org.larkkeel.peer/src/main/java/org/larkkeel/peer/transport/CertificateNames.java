/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.transport;

import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSocket;
import org.apache.thrift.TApplicationException;
import org.larkkeel.peer.gen.Batch;

/**
 * The names in the certificate of a peer; the node name that the peer sends must be one of them.
 * Immutable and safe for use by several threads.
 *
 * @param names the common name of the subject and the DNS names of the subject alternative names
 */
record CertificateNames(Set<String> names) {
  private static final int DNS_NAME = 2;

  /**
   * Reads the names from the certificate that the peer presented.
   *
   * @param socket the socket, after its handshake
   * @throws SSLPeerUnverifiedException if the certificate has no readable names
   */
  static CertificateNames of(SSLSocket socket) throws SSLPeerUnverifiedException {
    if (!(socket.getSession().getPeerCertificates()[0] instanceof X509Certificate certificate)) {
      throw new SSLPeerUnverifiedException("the certificate of the peer is not of type X.509");
    }
    try {
      Set<String> names = new HashSet<>(alternativeNames(certificate));
      commonName(certificate).ifPresent(names::add);
      return new CertificateNames(Set.copyOf(names));
    } catch (CertificateParsingException | InvalidNameException e) {
      throw unreadable(e);
    }
  }

  private static SSLPeerUnverifiedException unreadable(Exception cause) {
    SSLPeerUnverifiedException failure =
        new SSLPeerUnverifiedException("the names in the certificate can not be read");
    failure.initCause(cause);
    return failure;
  }

  private static Set<String> alternativeNames(X509Certificate certificate)
      throws CertificateParsingException {
    Collection<List<?>> entries = certificate.getSubjectAlternativeNames();
    Set<String> names = new HashSet<>();
    if (entries != null) {
      for (List<?> entry : entries) {
        if (entry.get(0).equals(DNS_NAME)) {
          names.add(entry.get(1).toString());
        }
      }
    }
    return names;
  }

  private static Optional<String> commonName(X509Certificate certificate)
      throws InvalidNameException {
    LdapName subject = new LdapName(certificate.getSubjectX500Principal().getName());
    return subject.getRdns().stream()
        .filter(part -> part.getType().equalsIgnoreCase("CN"))
        .map(Rdn::getValue)
        .map(Object::toString)
        .findFirst();
  }

  /**
   * Checks that the certificate contains the sender name of a batch.
   *
   * @throws TApplicationException if the certificate does not contain the name
   */
  void check(Batch batch) throws TApplicationException {
    String claimed = batch.isSetSender() ? batch.getSender().getHost() : null;
    if (!names.contains(String.valueOf(claimed))) {
      throw new TApplicationException(
          TApplicationException.PROTOCOL_ERROR,
          "the node name is "
              + claimed
              + " but the certificate names "
              + names
              + ": give each node a certificate with its own name");
    }
  }
}
