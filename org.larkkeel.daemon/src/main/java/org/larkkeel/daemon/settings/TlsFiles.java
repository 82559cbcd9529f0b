/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

import java.nio.file.Path;
import java.util.Optional;

/**
 * The PEM files of a listener; they are read and never written.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param certificate the certificate chain, with the node's own certificate first
 * @param key the private key, PKCS #8 without a password
 * @param authority the CA certificates that sign the peers' certificates; empty if clients need no
 *     certificate
 * @since 0.1
 */
public record TlsFiles(Path certificate, Path key, Optional<Path> authority) {}
