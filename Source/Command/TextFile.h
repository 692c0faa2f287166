// Atomic replacement of text files.
#ifndef MANGOCART_COMMAND_TEXTFILE_H
#define MANGOCART_COMMAND_TEXTFILE_H

#include <string>

namespace mangocart {

// Replaces the file. Returns an error message with the file name, or an empty
// string on success.
std::string writeTextFile(const std::string &File, const std::string &Text);

} // namespace mangocart

#endif
