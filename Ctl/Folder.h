/// \file
/// Declarations from a folder under version control.
#ifndef WASABI_CTL_FOLDER_H
#define WASABI_CTL_FOLDER_H

#include "Wasabi/Config/Configuration.h"

#include <string>

namespace wasabi::ctl {

/// The objects of all `*.json` files below `Folder`. Errors: `BadInput`, place
/// `file: /json/path`, also for an object that two files declare.
Result<ObjectTexts> readFolder(const std::string &Folder);

} // namespace wasabi::ctl

#endif // WASABI_CTL_FOLDER_H
