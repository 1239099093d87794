// What a long-running process sets for itself before anything else: it inherits signals and descriptors from
// whoever starts it.
#pragma once

namespace martenford {

/// Opens /dev/null for each standard stream that is closed: otherwise the first files and sockets of the
/// process would get these numbers, and lines of log would go into them. Ignores SIGPIPE and SIGXFSZ: a
/// write to a pipe without a reader, or beyond the limit on file sizes, then fails and ends nothing. To be
/// called first in main().
void prepare_process();

}  // namespace martenford
