/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

import java.nio.file.Path;
import java.util.Optional;

/**
 * The PEM files of a listener. Read only, never written.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param certificate the chain, the node's own certificate first
 * @param key the private key, PKCS #8 without a password
 * @param authority certificates that sign those of peers; empty if clients need none
 * @since 0.1
 */
public record TlsFiles(Path certificate, Path key, Optional<Path> authority) {}
